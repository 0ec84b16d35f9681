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

// Paths of checked pages, relative to the root of the repository.
const (
	architecturePage = "docs/ARCHITECTURE.md"
	readmePage       = "README.md"
)

var (
	codeSpan = regexp.MustCompile("`([^`\n]+)`")
	pageLink = regexp.MustCompile(`\]\(([^)#]+)`)
	// qualifiedName matches package.Name, package.Type.Method and package.Type.Field.
	qualifiedName = regexp.MustCompile(`^([a-z][a-z0-9]*)\.([A-Za-z_]\w*)(?:\.([A-Za-z_]\w*))?(?:\(\))?$`)
	fileSuffix    = regexp.MustCompile(`\.(go|md|toml|yaml|json|conf|mod|sum|txt|bolt)$`)
)

// TestArchitecturePageReferencesExist fails if the architecture page quotes a name or path that is not in the source,
// or has a link to a page that does not exist.
func TestArchitecturePageReferencesExist(t *testing.T) {
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
				continue // key of a settings file
			}
			names++
			if !source.declares(parts[1], parts[2], parts[3]) {
				t.Errorf("%s names %s, which the source does not declare", architecturePage, span)
			}
		}
	}
	if names == 0 || paths == 0 {
		t.Errorf("%s: found %d names and %d paths, want at least one of each", architecturePage, names, paths)
	}
	for _, link := range pageLink.FindAllStringSubmatch(page, -1) {
		if !strings.Contains(link[1], "://") && !exists(filepath.Join(filepath.Dir(architecturePage), link[1])) {
			t.Errorf("%s links to %s, which does not exist", architecturePage, link[1])
		}
	}
}

// TestPageReferencesExist fails if a page in docs quotes a path, or an exported name with a package of the module, that
// is not in the source. Pages on incidents are not checked, because they stay as they were written.
func TestPageReferencesExist(t *testing.T) {
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
				case parts != nil && ast.IsExported(parts[2]) && source[parts[1]] != nil &&
					!source.declares(parts[1], parts[2], parts[3]):
					t.Errorf("%s names %s, which the source does not declare", page, span)
				}
			}
		}
	}
	if pages < 10 {
		t.Errorf("found %d pages, want at least 10", pages)
	}
}

// TestReadmeLayoutMatchesSource fails if the layout section of the README names a path that does not exist, or lacks a
// package; the packages below examples are not named one by one. An entry of the layout begins with a folder, and its
// other paths may be relative to that folder.
func TestReadmeLayoutMatchesSource(t *testing.T) {
	_, layout, found := strings.Cut(readPage(t, readmePage), "\n## Layout\n")
	layout, _, ended := strings.Cut(layout, "\n## ")
	if !found || !ended {
		t.Fatalf("%s: section Layout, followed by another section, not found", readmePage)
	}
	named := map[string]bool{}
	for _, entry := range strings.Split(layout, "\n- ") {
		folder := ""
		for _, span := range codeSpans(entry) {
			if strings.HasPrefix(span, "bin/") || strings.ContainsRune(span, ' ') {
				continue // command line, not a path
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

// readPage returns the content of a page. The name is relative to the root of the repository.
func readPage(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(repositoryRoot, name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// codeSpans returns the texts between single backquotes, including those in indented blocks.
func codeSpans(page string) (spans []string) {
	for _, match := range codeSpan.FindAllStringSubmatch(page, -1) {
		spans = append(spans, match[1])
	}
	return spans
}

// isPath reports whether a code span is a path of the repository: its first element is a folder or file at the root, or
// it ends in .md.
func isPath(t *testing.T, span string) bool {
	t.Helper()
	first, rest, hasSlash := strings.Cut(span, "/")
	if strings.ContainsAny(span, " {}<>") || strings.HasPrefix(span, "/") || strings.HasPrefix(span, "-") {
		return false
	}
	entries, err := os.ReadDir(repositoryRoot)
	if err != nil {
		t.Fatal(err)
	}
	atRoot := slices.ContainsFunc(entries, func(e fs.DirEntry) bool { return e.Name() == first })
	return atRoot && (rest != "" || !hasSlash) || strings.HasSuffix(span, ".md")
}

// exists reports whether a path from the root of the repository exists.
func exists(path string) bool {
	_, err := os.Stat(filepath.Join(repositoryRoot, filepath.FromSlash(path)))
	return err == nil
}

// packageFolders returns the folders of the module that contain Go files other than tests.
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

// walkSource calls visit with the path of each Go file, relative to the root of the repository. It skips hidden folders
// and folders named testdata or bin.
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

// sourceNames holds the names that each package of the module declares, by package name. It leaves out main packages,
// and merges packages of the same name.
type sourceNames map[string]*packageNames

// packageNames holds the names that a package declares.
type packageNames struct {
	declared map[string]bool            // names declared at package level
	members  map[string]map[string]bool // methods and fields, by type
	embedded map[string][]string        // embedded types, by type; qualified if they are from another package
}

// parseSource parses all Go files of the module but tests.
func parseSource(t *testing.T) sourceNames {
	t.Helper()
	source := sourceNames{}
	walkSource(t, func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(repositoryRoot, path), nil,
			parser.SkipObjectResolution)
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

// add records the names of a declaration.
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

// addType records the fields of a struct type or the methods of an interface type.
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

func (p *packageNames) addMember(owner, name string) {
	if p.members[owner] == nil {
		p.members[owner] = map[string]bool{}
	}
	p.members[owner][name] = true
}

// typeName returns the name of the type of a receiver or an embedded field, qualified if it is from another package.
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

// declares reports whether a package declares a name and, unless member is empty, whether that type has the member
// itself or by an embedded type.
func (s sourceNames) declares(pkg, name, member string) bool {
	p := s[pkg]
	if p == nil || !p.declared[name] {
		return false
	}
	if member == "" || p.members[name][member] {
		return true
	}
	return slices.ContainsFunc(p.embedded[name], func(embedded string) bool {
		other, promoted, qualified := strings.Cut(embedded, ".")
		if !qualified {
			other, promoted = pkg, embedded
		}
		return s.declares(other, promoted, member)
	})
}
