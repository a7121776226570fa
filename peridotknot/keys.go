package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"

	"peridotknot.example/pkmanifest"
)

func addKeys(p *flags.Parser) error {
	c, err := p.AddCommand("keys", "generate and hash API keys", "generate and hash API keys", &commandGroup{})
	if err != nil {
		return err
	}
	if err := addCommand(c, "new", "generate an API key and its manifest entry", &keysNew{}); err != nil {
		return err
	}
	return addCommand(c, "hash", "read an API key from standard input and print its manifest entry", &keysHash{})
}

type keysNew struct{}

// Execute generates a key and prints it with its manifest entry.
func (*keysNew) Execute([]string) error {
	key, entry := pkmanifest.NewKey()
	fmt.Printf("key (give it to the account, it is kept nowhere): %s\n", key)
	printKey(entry)
	return nil
}

type keysHash struct{}

// Execute prints the manifest entry of a key. The key is read from standard input, since command
// line arguments are visible in the list of processes.
func (*keysHash) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return badInput("no key on standard input")
	}
	entry, err := pkmanifest.HashKey(strings.TrimSpace(line))
	if err != nil {
		return badInput("%w", err)
	}
	printKey(entry)
	return nil
}

func printKey(k pkmanifest.Key) {
	fmt.Printf("- {id: %s, salt: %s, hash: %s}\n", k.ID, k.Salt, k.Hash)
}
