//! The layout of the sources: small files, and none that import each other in a circle.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use syn::visit::Visit;
use syn::{ItemUse, UseTree};

/// The longest source file.
const MAX_LINES: usize = 500;

/// A module's path below its crate.
type ModulePath = Vec<String>;

/// The files of one crate, by their modules.
struct CrateFiles(BTreeMap<ModulePath, PathBuf>);

impl CrateFiles {
    /// All files below a folder whose root module is `lib.rs`. Programs beside it are no modules.
    fn in_folder(source: &Path) -> Self {
        let mut files = BTreeMap::new();
        collect_files(source, &Vec::new(), &mut files);
        CrateFiles(files)
    }

    /// The module that a path leads to or into.
    fn module_at(&self, path: &[String]) -> Option<&ModulePath> {
        let lengths = (0..=path.len()).rev();
        lengths
            .filter_map(|length| self.0.get_key_value(&path[..length]))
            .map(|(module, _)| module)
            .next()
    }

    /// The modules that a file imports from.
    fn imports(&self, module: &ModulePath) -> BTreeSet<ModulePath> {
        let text = fs::read_to_string(&self.0[module]).expect("a source file");
        let file = syn::parse_file(&text).expect("a source file that parses");
        let mut paths = UsedPaths::default();
        paths.visit_file(&file);
        let resolved = paths.0.iter().filter_map(|path| self.resolve(module, path));
        resolved.filter(|imported| imported != module).collect()
    }

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
                self.0.get(&base)?; // else another crate's
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

/// The paths of a file's `use` declarations, but for those of its tests.
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
        let with = |segment: String| {
            prefix
                .iter()
                .cloned()
                .chain([segment])
                .collect::<ModulePath>()
        };
        match tree {
            UseTree::Path(path) => self.add(&path.tree, &with(path.ident.to_string())),
            UseTree::Name(name) => self.0.push(with(name.ident.to_string())),
            UseTree::Rename(rename) => self.0.push(with(rename.ident.to_string())),
            UseTree::Glob(_) => self.0.push(prefix.clone()),
            UseTree::Group(group) => group.items.iter().for_each(|tree| self.add(tree, prefix)),
        }
    }
}

/// Modules that import each other in a circle, if there are any: what is left once all are taken away that import none.
fn import_cycles(
    mut imports: BTreeMap<ModulePath, BTreeSet<ModulePath>>,
) -> BTreeMap<ModulePath, BTreeSet<ModulePath>> {
    loop {
        let leaves: Vec<ModulePath> = imports
            .iter()
            .filter(|(_, imported)| imported.is_empty())
            .map(|(m, _)| m.clone())
            .collect();
        if leaves.is_empty() {
            break;
        }
        imports.retain(|module, _| !leaves.contains(module));
        for imported in imports.values_mut() {
            imported.retain(|module| !leaves.contains(module));
        }
    }
    // And those that are imported by none of the rest.
    loop {
        let imported: BTreeSet<ModulePath> = imports.values().flatten().cloned().collect();
        let before = imports.len();
        imports.retain(|module, _| imported.contains(module));
        if imports.len() == before {
            return imports;
        }
    }
}

fn sources() -> [PathBuf; 2] {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    [root.join("src"), root.join("fleet-lab/src")]
}

#[test]
fn modules_have_no_import_cycles() {
    for source in sources() {
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

/// Guards against files that no module declares, which the compiler never sees.
#[test]
fn every_source_file_is_declared() {
    for source in sources() {
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
                "{} is declared nowhere",
                path.display()
            );
        }
    }
}
