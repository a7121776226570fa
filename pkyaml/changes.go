package pkyaml

import (
	"reflect"
	"strings"
)

// Names returns the names of all values of a settings type as its file spells them, such as listen.callers.
func Names[T any]() []string {
	var out []string
	walk(reflect.TypeFor[T](), "", func(name string, _ []int) { out = append(out, name) })
	return out
}

// Changes returns the names of the values that differ between two settings.
func Changes[T any](before, after T) []string {
	var out []string
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	walk(reflect.TypeFor[T](), "", func(name string, index []int) {
		if !reflect.DeepEqual(a.FieldByIndex(index).Interface(), b.FieldByIndex(index).Interface()) {
			out = append(out, name)
		}
	})
	return out
}

// walk calls do for each value of a struct that is no struct itself, with its name and its index.
func walk(t reflect.Type, prefix string, do func(name string, index []int), at ...int) {
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		index := append(append([]int{}, at...), i)
		if field.Type.Kind() == reflect.Struct {
			walk(field.Type, prefix+name+".", do, index...)
			continue
		}
		do(prefix+name, index)
	}
}
