// Package pklayers assigns model layers to engines and finds the path of a request through them.
//
// No engine holds a whole model. A Model describes the size of its layers and the speed of each
// kind of accelerator. Plan is a pure function from the engines and the layers they hold now to the
// layers they should hold next. A Path is a sequence of engines that runs each layer once and in
// order, and Find returns the cheapest one. A path may use only some of the layers that an engine
// holds, so it can switch between engines wherever their ranges overlap. Package pklayers is used
// by pkedge; pkroute is its counterpart in pkentry.
package pklayers
