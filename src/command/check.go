package command

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/yuccaport/yuccaport/src/document"
	"github.com/yuccaport/yuccaport/src/problem"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check documents without a store",
		ArgsUsage: "DOC.toml...",
		Action:    checkDocuments,
	}
}

func checkDocuments(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usageProblem("check takes documents, none given", "name one or more files")
	}
	docs := map[string]*document.Document{}
	for _, file := range cmd.Args().Slice() {
		d, err := readDocument(file)
		if err != nil {
			return err
		}
		docs[d.Service] = d
		printf(cmd, "%s: document of %s is usable by itself\n", file, d.Service)
	}
	if len(docs) == 1 {
		return nil
	}
	if err := document.CheckAll(docs); err != nil {
		return err
	}
	printf(cmd, "the %d documents are usable together\n", len(docs))
	return nil
}

func readDocument(file string) (*document.Document, error) {
	b, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return document.Parse(file, b)
}

func readFile(file string) ([]byte, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, problem.Wrap(problem.Usage, err, file, "cannot be read", "name a file that exists")
	}
	return b, nil
}
