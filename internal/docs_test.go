package internal_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const repositoryRoot = ".."

// The pages that are checked, from the root of the repository.
const (
	architecturePage = "docs/ARCHITECTURE.md"
	readmePage       = "README.md"
)

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	pageLink = regexp.MustCompile(`\]\(([^)#]+)`)
	// qualifiedName is package.Name, package.Type.Method or package.Type.Field.
	qualifiedName = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z_]\w*)(?:\.([A-Za-z_]\w*))?(?:\(\))?$`)
	fileSuffix    = regexp.MustCompile(`\.(go|md|toml|yaml|json|conf|mod|sum|txt|bolt)$`)
)

// TestArchitecturePageNamesWhatExists fails for a quoted name or path of the architecture page that is not in the source.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	page := readPage(t, architecturePage)
	source := parseSource(t)
	names, paths := 0, 0
	for _, span := range codeSpans(page) {
		switch {
		case isPath(t, span):
			paths++
			if !exists(span) {
				t.Errorf("%s names the path %s, which does not exist", architecturePage, span)
			}
		case qualifiedName.MatchString(span) && !fileSuffix.MatchString(span):
			parts := qualifiedName.FindStringSubmatch(span)
			if !ast.IsExported(parts[2]) && source[parts[1]] == nil {
				continue // a key of a settings file
			}
			names++
			if !source.declares(parts[1], parts[2], parts[3]) {
				t.Errorf("%s names %s, which the source does not declare", architecturePage, span)
			}
		}
	}
	if names == 0 || paths == 0 {
		t.Errorf("%s: %d names and %d paths found, some of each expected", architecturePage, names, paths)
	}
	for _, link := range pageLink.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(link[1], "://") && !exists(filepath.Join(filepath.Dir(architecturePage), link[1])) {
			t.Errorf("%s links %s, which does not exist", architecturePage, link[1])
		}
	}
}

// TestPagesNameWhatExists fails for a quoted path, or an exported name qualified by a package of the module, that is not in the source,
// on every page below docs but those of incidents, which stay as they were written.
func TestPagesNameWhatExists(t *testing.T) {
	source := parseSource(t)
	pages := 0
	for _, pattern := range []string{"docs/*.md", "docs/design/*.md", "docs/operate/*.md"} {
		files, err := filepath.Glob(filepath.Join(repositoryRoot, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			pages++
			page := strings.TrimPrefix(filepath.ToSlash(file), repositoryRoot+"/")
			for _, span := range codeSpans(readPage(t, page)) {
				parts := qualifiedName.FindStringSubmatch(span)
				switch {
				case isPath(t, span) && !exists(span):
					t.Errorf("%s names the path %s, which does not exist", page, span)
				case parts != nil && ast.IsExported(parts[2]) && source[parts[1]] != nil && !source.declares(parts[1], parts[2], parts[3]):
					t.Errorf("%s names %s, which the source does not declare", page, span)
				}
			}
		}
	}
	if pages < 10 {
		t.Errorf("%d pages found, at least 10 expected", pages)
	}
}

// TestReadmeLayoutNamesWhatExists fails for a path of the README's layout that does not exist, and for a package that the layout
// leaves out; examples are one folder there. A line begins with the folder that the line is about; what follows may be below it.
func TestReadmeLayoutNamesWhatExists(t *testing.T) {
	_, layout, found := strings.Cut(readPage(t, readmePage), "\n## Layout\n")
	layout, _, ended := strings.Cut(layout, "\n## ")
	if !found || !ended {
		t.Fatalf("%s: no section Layout with another one after it", readmePage)
	}
	named := map[string]bool{}
	for _, entry := range strings.Split(layout, "\n- ") {
		folder := ""
		for _, span := range codeSpans(entry) {
			if strings.HasPrefix(span, "bin/") || strings.ContainsRune(span, ' ') {
				continue // a command
			}
			switch below := filepath.Join(folder, span); {
			case folder != "" && exists(below):
				named[filepath.Clean(below)] = true
			case exists(span):
				named[filepath.Clean(span)] = true
				if folder == "" {
					folder = span
				}
			default:
				t.Errorf("%s: the layout names %s, which does not exist", readmePage, span)
			}
		}
	}
	for _, folder := range packageFolders(t) {
		if folder != "internal" && !named[folder] && !strings.HasPrefix(folder, "examples/") {
			t.Errorf("%s: the layout does not name %s", readmePage, folder)
		}
	}
}

// readPage reads a page of the repository.
func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// codeSpans are the texts between single backquotes, those of indented blocks included.
func codeSpans(page string) (spans []string) {
	for _, match := range codeSpan.FindAllStringSubmatch(page, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// isPath reports whether a code span is a path of the repository: its first element is a folder or file at the root.
func isPath(t *testing.T, span string) bool {
	t.Helper()
	first, rest, deeper := strings.Cut(span, "/")
	if strings.ContainsAny(span, " {}<>") || strings.HasPrefix(span, "/") || strings.HasPrefix(span, "-") {
		return false
	}
	entries, err := os.ReadDir(repositoryRoot)
	if err != nil {
		t.Fatal(err)
	}
	atRoot := slices.ContainsFunc(entries, func(e fs.DirEntry) bool { return e.Name() == first })
	return atRoot && (rest != "" || !deeper) || strings.HasSuffix(span, ".md")
}

// exists reports whether a path from the root of the repository exists.
func exists(path string) bool {
	_, err := os.Stat(filepath.Join(repositoryRoot, filepath.FromSlash(path)))
	return err == nil
}

// packageFolders are the folders of the module with Go files that are no tests.
func packageFolders(t *testing.T) (folders []string) {
	t.Helper()
	walkSource(t, func(path string) {
		folder := filepath.Dir(path)
		if !strings.HasSuffix(path, "_test.go") && !slices.Contains(folders, folder) {
			folders = append(folders, folder)
		}
	})
	return folders
}

// walkSource calls visit with the path of every Go file from the root of the repository.
func walkSource(t *testing.T, visit func(path string)) {
	t.Helper()
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		hidden := strings.HasPrefix(entry.Name(), ".") && path != repositoryRoot
		if entry.IsDir() && (hidden || entry.Name() == "testdata" || entry.Name() == "bin") {
			return filepath.SkipDir
		}
		if !entry.IsDir() && strings.HasSuffix(path, ".go") {
			relative, err := filepath.Rel(repositoryRoot, path)
			if err != nil {
				return err
			}
			visit(filepath.ToSlash(relative))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// sourceNames has the packages of the module by name, programs left out. Packages that share a name are taken together.
type sourceNames map[string]*packageNames

// packageNames are the names that a package declares.
type packageNames struct {
	declared map[string]bool            // at package level
	members  map[string]map[string]bool // methods and fields, by type
	embedded map[string][]string        // embedded types, by type; with their package where it is another one
}

// parseSource parses all Go files of the module that are no tests.
func parseSource(t *testing.T) sourceNames {
	t.Helper()
	source := sourceNames{}
	walkSource(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, path), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		if file.Name.Name == "main" {
			return
		}
		names := source[file.Name.Name]
		if names == nil {
			names = &packageNames{map[string]bool{}, map[string]map[string]bool{}, map[string][]string{}}
			source[file.Name.Name] = names
		}
		for _, declaration := range file.Decls {
			names.add(declaration)
		}
	})
	return source
}

// add notes the names of one declaration.
func (p *packageNames) add(declaration ast.Decl) {
	switch d := declaration.(type) {
	case *ast.FuncDecl:
		if d.Recv == nil {
			p.declared[d.Name.Name] = true
			return
		}
		p.addMember(typeName(d.Recv.List[0].Type), d.Name.Name)
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			switch s := spec.(type) {
			case *ast.ValueSpec:
				for _, name := range s.Names {
					p.declared[name.Name] = true
				}
			case *ast.TypeSpec:
				p.declared[s.Name.Name] = true
				p.addType(s)
			}
		}
	}
}

// addType notes the fields of a struct, or the methods of an interface.
func (p *packageNames) addType(spec *ast.TypeSpec) {
	var fields *ast.FieldList
	switch t := spec.Type.(type) {
	case *ast.StructType:
		fields = t.Fields
	case *ast.InterfaceType:
		fields = t.Methods
	default:
		return
	}
	for _, field := range fields.List {
		for _, name := range field.Names {
			p.addMember(spec.Name.Name, name.Name)
		}
		if len(field.Names) == 0 {
			p.embedded[spec.Name.Name] = append(p.embedded[spec.Name.Name], typeName(field.Type))
		}
	}
}

func (p *packageNames) addMember(of, name string) {
	if p.members[of] == nil {
		p.members[of] = map[string]bool{}
	}
	p.members[of][name] = true
}

// typeName names the type of a receiver or of an embedded field, with its package where it is another one.
func typeName(expression ast.Expr) string {
	switch e := expression.(type) {
	case *ast.Ident:
		return e.Name
	case *ast.StarExpr:
		return typeName(e.X)
	case *ast.IndexExpr:
		return typeName(e.X)
	case *ast.SelectorExpr:
		return typeName(e.X) + "." + e.Sel.Name
	}
	return ""
}

// declares reports whether a package declares a name, and a member of it where one is given, its own or a promoted one.
func (s sourceNames) declares(in, name, member string) bool {
	p := s[in]
	if p == nil || !p.declared[name] {
		return false
	}
	if member == "" || p.members[name][member] {
		return true
	}
	return slices.ContainsFunc(p.embedded[name], func(embedded string) bool {
		other, promoted, qualified := strings.Cut(embedded, ".")
		if !qualified {
			other, promoted = in, embedded
		}
		return s.declares(other, promoted, member)
	})
}
