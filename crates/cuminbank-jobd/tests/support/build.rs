//! Builds of the daemon that a deployment starts.

use std::{
    fs,
    path::{Path, PathBuf},
};

use serde_json::Value;

/// Settings that no deployment template has.
const TEST_SETTINGS: [&str; 1] = ["cells"];

/// Program of a build, with the template of the settings that it knows.
#[derive(Clone, Debug)]
pub struct DaemonBuild {
    /// Name in output and in names of log files.
    pub name: String,
    program: PathBuf,
    template: String,
}

impl DaemonBuild {
    /// Returns the build of the checkout.
    pub fn current() -> Self {
        let template = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/settings.json");
        Self::new("current", env!("CARGO_BIN_EXE_cuminbank-jobd").into(), Path::new(template))
    }

    fn new(name: &str, program: PathBuf, template: &Path) -> Self {
        let template = fs::read_to_string(template).expect("the template of a build is readable");
        Self { name: name.to_owned(), program, template }
    }

    /// Returns the build in a folder, with its program `cuminbank-jobd` and its template
    /// `settings.json`. `variable` is the environment variable with the folder; without it, the
    /// build of the checkout is returned.
    pub fn from_variable(name: &str, variable: &str) -> Self {
        let Some(folder) = std::env::var_os(variable).map(PathBuf::from) else {
            return Self { name: name.to_owned(), ..Self::current() };
        };
        Self::new(name, folder.join("cuminbank-jobd"), &folder.join("settings.json"))
    }

    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Returns those of the settings that the build knows.
    pub fn select_settings(&self, settings: &Value) -> Value {
        let settings = settings.as_object().expect("settings are an object");
        let known = |name: &str| {
            TEST_SETTINGS.contains(&name) || self.template.contains(&format!("\"{name}\":"))
        };
        settings
            .iter()
            .filter(|(name, _)| known(name))
            .map(|(k, v)| (k.clone(), v.clone()))
            .collect()
    }
}
