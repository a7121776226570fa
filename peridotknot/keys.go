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
	c, err := p.AddCommand("keys", "make and hash API keys", "make and hash API keys", &none{})
	if err != nil {
		return err
	}
	if err := add(c, "new", "make an API key and its manifest entry", &keysNew{}); err != nil {
		return err
	}
	return add(c, "hash", "read an API key from standard input and print its manifest entry", &keysHash{})
}

type keysNew struct{}

// Execute runs the command.
func (*keysNew) Execute([]string) error {
	key, kept := pkmanifest.NewKey()
	fmt.Printf("key (give it to the account, it is kept nowhere): %s\n", key)
	printKey(kept)
	return nil
}

type keysHash struct{}

// Execute runs the command. The key comes by standard input, because arguments
// show in the list of processes.
func (*keysHash) Execute([]string) error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	if err != nil && line == "" {
		return bad("no key on standard input")
	}
	kept, err := pkmanifest.HashKey(strings.TrimSpace(line))
	if err != nil {
		return bad("%w", err)
	}
	printKey(kept)
	return nil
}

func printKey(k pkmanifest.Key) {
	fmt.Printf("- {id: %s, salt: %s, hash: %s}\n", k.ID, k.Salt, k.Hash)
}
