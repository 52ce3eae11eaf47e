//! Tests of the source layout: files are short, every file is declared as a module, and modules have no import cycles.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use syn::visit::Visit;
use syn::{ItemUse, UseTree};

/// The maximum number of lines of a source file.
const MAX_LINES: usize = 500;

/// The path of a module in its crate.
type ModulePath = Vec<String>;

/// The source files of one crate, by the paths of their modules.
struct CrateFiles(BTreeMap<ModulePath, PathBuf>);

impl CrateFiles {
    /// Returns all source files of modules below the folder that contains the root module, `lib.rs`. Programs are not
    /// included.
    fn in_folder(source: &Path) -> Self {
        let mut files = BTreeMap::new();
        collect_files(source, &Vec::new(), &mut files);
        CrateFiles(files)
    }

    /// Returns the module that a path names, or the module of the item that it names.
    fn module_at(&self, path: &[String]) -> Option<&ModulePath> {
        let lengths = (0..=path.len()).rev();
        lengths
            .filter_map(|length| self.0.get_key_value(&path[..length]))
            .map(|(module, _)| module)
            .next()
    }

    /// Returns the modules from which a module imports.
    fn imports(&self, module: &ModulePath) -> BTreeSet<ModulePath> {
        let text = fs::read_to_string(&self.0[module]).expect("a source file");
        let file = syn::parse_file(&text).expect("a source file that parses");
        let mut paths = UsedPaths::default();
        paths.visit_file(&file);
        let resolved = paths.0.iter().filter_map(|path| self.resolve(module, path));
        resolved.filter(|imported| imported != module).collect()
    }

    /// Returns the module that a path in a `use` declaration of `module` refers to. Returns `None` for paths in other
    /// crates.
    fn resolve(&self, module: &ModulePath, path: &[String]) -> Option<ModulePath> {
        let mut base = module.clone();
        let mut rest = path;
        match path.first()?.as_str() {
            "crate" => {
                base.clear();
                rest = &rest[1..];
            }
            "self" => rest = &rest[1..],
            "super" => {
                while rest.first().is_some_and(|segment| segment == "super") {
                    base.pop();
                    rest = &rest[1..];
                }
            }
            child => {
                base.push(child.to_owned());
                self.0.get(&base)?; // otherwise it is a path in another crate
                rest = &rest[1..];
            }
        }
        base.extend_from_slice(rest);
        self.module_at(&base).cloned()
    }
}

fn collect_files(folder: &Path, module: &ModulePath, files: &mut BTreeMap<ModulePath, PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        let mut inner = module.clone();
        if path.is_dir() && name != "bin" {
            inner.push(name);
            collect_files(&path, &inner, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") && name != "main" {
            if !matches!(name.as_str(), "mod" | "lib") {
                inner.push(name);
            }
            files.insert(inner, path);
        }
    }
}

/// The paths in a file's `use` declarations, except those in inline modules, which contain tests.
#[derive(Default)]
struct UsedPaths(Vec<ModulePath>);

impl Visit<'_> for UsedPaths {
    fn visit_item_use(&mut self, item: &ItemUse) {
        self.add(&item.tree, &Vec::new());
    }

    fn visit_item_mod(&mut self, _tests: &syn::ItemMod) {}
}

impl UsedPaths {
    fn add(&mut self, tree: &UseTree, prefix: &ModulePath) {
        let prefixed = |segment: String| {
            prefix
                .iter()
                .cloned()
                .chain([segment])
                .collect::<ModulePath>()
        };
        match tree {
            UseTree::Path(path) => self.add(&path.tree, &prefixed(path.ident.to_string())),
            UseTree::Name(name) => self.0.push(prefixed(name.ident.to_string())),
            UseTree::Rename(rename) => self.0.push(prefixed(rename.ident.to_string())),
            UseTree::Glob(_) => self.0.push(prefix.clone()),
            UseTree::Group(group) => group.items.iter().for_each(|tree| self.add(tree, prefix)),
        }
    }
}

/// Returns the modules on import cycles, with the modules that they import. Modules between two cycles are included.
///
/// First removes, again and again, the modules that import none of the remaining modules.
fn import_cycles(
    mut imports: BTreeMap<ModulePath, BTreeSet<ModulePath>>,
) -> BTreeMap<ModulePath, BTreeSet<ModulePath>> {
    loop {
        let leaves: Vec<ModulePath> = imports
            .iter()
            .filter(|(_, imported)| imported.is_empty())
            .map(|(module, _)| module.clone())
            .collect();
        if leaves.is_empty() {
            break;
        }
        imports.retain(|module, _| !leaves.contains(module));
        for imported in imports.values_mut() {
            imported.retain(|module| !leaves.contains(module));
        }
    }
    // Removes, again and again, the modules that no remaining module imports.
    loop {
        let imported: BTreeSet<ModulePath> = imports.values().flatten().cloned().collect();
        let before = imports.len();
        imports.retain(|module, _| imported.contains(module));
        if imports.len() == before {
            return imports;
        }
    }
}

fn source_folders() -> [PathBuf; 2] {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    [root.join("src"), root.join("fleet-lab/src")]
}

#[test]
fn modules_have_no_import_cycles() {
    for source in source_folders() {
        let files = CrateFiles::in_folder(&source);
        let imports = files
            .0
            .keys()
            .map(|module| (module.clone(), files.imports(module)));
        let cycles = import_cycles(imports.collect());
        let lines = cycles.iter().map(|(module, imported)| {
            let names: Vec<String> = imported.iter().map(|path| path.join("::")).collect();
            format!("{} imports {}", module.join("::"), names.join(", "))
        });
        let lines: Vec<String> = lines.collect();
        assert!(lines.is_empty(), "{}", lines.join("\n"));
    }
}

#[test]
fn source_files_stay_within_the_line_limit() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let folders = [
        "src",
        "tests",
        "examples",
        "fleet-lab/src",
        "fleet-lab/tests",
    ]
    .map(|folder| root.join(folder));
    let mut pending: Vec<PathBuf> = folders.to_vec();
    while let Some(path) = pending.pop() {
        if path.is_dir() {
            pending.extend(
                fs::read_dir(&path)
                    .expect("a folder")
                    .map(|entry| entry.expect("an entry").path()),
            );
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let lines = fs::read_to_string(&path)
                .expect("a source file")
                .lines()
                .count();
            assert!(lines <= MAX_LINES, "{} has {lines} lines", path.display());
        }
    }
}

/// Guards against files that no module declares. The compiler ignores them.
#[test]
fn every_source_file_is_declared() {
    for source in source_folders() {
        let files = CrateFiles::in_folder(&source);
        for (module, path) in &files.0 {
            let Some((name, parent)) = module.split_last() else {
                continue;
            };
            let parent_file = files
                .0
                .get(parent)
                .unwrap_or_else(|| panic!("{} has no parent", path.display()));
            let mut text = fs::read_to_string(parent_file).expect("a source file");
            if parent.is_empty() {
                text += &fs::read_to_string(source.join("main.rs")).expect("the program");
            }
            let siblings = files
                .0
                .iter()
                .filter(|(other, _)| other.len() == module.len());
            let declares = |text: &str| {
                text.contains(&format!("mod {name};"))
                    || text.contains(&format!("#[path = \"{name}.rs\"]"))
            };
            let is_declared_by_sibling = siblings
                .filter(|(other, _)| other.starts_with(parent))
                .any(|(_, file)| declares(&fs::read_to_string(file).expect("a source file")));
            assert!(
                declares(&text) || is_declared_by_sibling,
                "{} is not declared by any module",
                path.display()
            );
        }
    }
}
