// Command linkage checks that programs are dynamically linked against the C
// library, since LD_PRELOAD has no effect on a static program. A plain go build
// of a program without cgo packages silently produces a static one.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	for _, path := range os.Args[1:] {
		if err := checkDynamic(path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

// checkDynamic returns an error unless the ELF file at path names an interpreter
// and needs the C library.
func checkDynamic(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return fmt.Errorf("%s: linked statically: the file names no interpreter", path)
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		return fmt.Errorf("%s: needed libraries %q do not include the C library (libc.so)", path, libs)
	}
	return nil
}
