package main

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"

	"bluebellcrank/internal/state/account"
)

const usageKey = `
Read an API key from standard input and print its digest. The configuration
lists the digest among the account's keys, so that the key itself is not stored
in any file.
`

type keyCmd struct{}

// Help implements kong.HelpProvider.
func (keyCmd) Help() string { return usageKey }

// Run implements the subcommand.
func (keyCmd) Run() error {
	line, err := bufio.NewReader(os.Stdin).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		return errors.Join(errors.New("no key on standard input"), err)
	}
	fmt.Println(account.HashKey(key))
	return nil
}
