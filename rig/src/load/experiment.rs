//! Runs several variants side by side: the same seeds and loads, interleaved, each run in a process
//! of its own, so that none disturbs the next.

use crate::load::spec::{RunSpec, conflict_error, merge_json};
use arbutusmount::{CheckError, CheckFault, FieldKind, FieldRule, check_document, parse_json};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::path::Path;
use std::process::Command;
use std::sync::Arc;

/// Result of reading an experiment file; the error lists every fault found.
pub type Result<T> = std::result::Result<T, Vec<CheckError>>;

/// One variant: changes merged into the run.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct VariantSpec {
    /// Name.
    pub name: Arc<str>,
    /// Changes merged into the run, such as daemon settings.
    pub run: Value,
}

/// An experiment: every variant at every load with every seed. The file may name a run file as
/// `base`, relative to itself, into which `run` is merged.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentSpec {
    /// Run that the variants change.
    pub run: Value,
    /// Variants.
    pub variants: Vec<VariantSpec>,
    /// Loads, in per cent of the bound.
    pub loads: Vec<f64>,
    /// Seeds.
    pub seeds: Vec<u64>,
}

const EXPERIMENT_TABLE: &[FieldRule] = &[
    FieldRule::optional("base", FieldKind::Text),
    FieldRule::required(
        "variants",
        FieldKind::List(&FieldKind::Object(VARIANT_TABLE)),
    ),
    FieldRule::required("loads", FieldKind::List(&FieldKind::NonNegative)),
    FieldRule::required("seeds", FieldKind::List(&FieldKind::Integer(0, u64::MAX))),
];

const VARIANT_TABLE: &[FieldRule] = &[FieldRule::required("name", FieldKind::Id)];

impl ExperimentSpec {
    /// Reads an experiment file and checks every run that it makes. `read_base` reads the file that
    /// the experiment names as its base.
    ///
    /// # Errors
    /// Every fault of the document, each with its JSON path.
    pub fn parse(
        text: &str,
        read_base: impl Fn(&str) -> std::result::Result<String, String>,
    ) -> Result<Self> {
        let mut value = parse_json(text)?;
        let run = take_object(&mut value, "run", "$.run")?;
        let mut changes = Vec::new();
        if let Some(variants) = value["variants"].as_array_mut() {
            for (index, variant) in variants.iter_mut().enumerate() {
                let path = format!("$.variants[{index}].run");
                changes.push(take_object(variant, "run", &path)?);
            }
        }
        let mut value = check_document(&value.to_string(), EXPERIMENT_TABLE)?;
        value["run"] = match value["base"].as_str() {
            Some(name) => merge_into_base(name, &read_base, &run)?,
            None => run,
        };
        for (index, change) in changes.into_iter().enumerate() {
            value["variants"][index]["run"] = change;
        }
        let spec: Self = serde_json::from_value(value)
            .map_err(|cause| vec![conflict_error("$", cause.to_string())])?;
        spec.check_runs()?;
        Ok(spec)
    }

    fn check_runs(&self) -> Result<()> {
        for variant in &self.variants {
            let text = self.run_text(variant, 100.0, 0);
            RunSpec::parse(&text).map_err(|errors| {
                let place = |error: CheckError| {
                    let path = error.path.replacen('$', "$.run", 1);
                    conflict_error(
                        path,
                        format!("in variant {}: {:?}", variant.name, error.fault),
                    )
                };
                errors.into_iter().map(place).collect::<Vec<_>>()
            })?;
        }
        Ok(())
    }

    /// The run file of one variant at one load with one seed.
    pub fn run_text(&self, variant: &VariantSpec, load: f64, seed: u64) -> String {
        let mut run = self.run.clone();
        merge_json(&mut run, &variant.run);
        merge_json(&mut run, &json!({ "load_percent": load, "seed": seed }));
        run.to_string()
    }
}

fn merge_into_base(
    name: &str,
    read_base: impl Fn(&str) -> std::result::Result<String, String>,
    run: &Value,
) -> Result<Value> {
    let bad = |cause: String| vec![conflict_error("$.base", cause)];
    let text = read_base(name).map_err(bad)?;
    let mut base = serde_json::from_str(&text).map_err(|cause| bad(cause.to_string()))?;
    merge_json(&mut base, run);
    Ok(base)
}

fn take_object(value: &mut Value, name: &str, path: &str) -> Result<Value> {
    let taken = value
        .as_object_mut()
        .and_then(|fields| fields.remove(name))
        .unwrap_or_else(|| json!({}));
    if taken.is_object() {
        return Ok(taken);
    }
    let fault = CheckFault::Expected("an object");
    Err(vec![CheckError {
        path: path.to_owned(),
        fault,
    }])
}

/// Runs an experiment; summaries are appended to `out`. Runs that fail are named and passed over.
///
/// # Errors
/// The number of failed runs, or what kept the experiment from starting, as text.
pub fn run_experiment(spec: &ExperimentSpec, out: &Path) -> std::result::Result<(), String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let file = std::env::temp_dir().join(format!("arbutusmount-run-{}.json", std::process::id()));
    let mut failed = 0;
    let total = spec.seeds.len() * spec.loads.len() * spec.variants.len();
    let mut number = 0;
    for seed in &spec.seeds {
        for load in &spec.loads {
            for variant in &spec.variants {
                number += 1;
                eprintln!(
                    "run {number} of {total}: {} at {load} %, seed {seed}",
                    variant.name
                );
                std::fs::write(&file, spec.run_text(variant, *load, *seed))
                    .map_err(|e| e.to_string())?;
                let status = Command::new(&program)
                    .args(["load", "--variant", &variant.name, "--run"])
                    .arg(&file)
                    .arg("--out")
                    .arg(out)
                    .status()
                    .map_err(|e| e.to_string())?;
                if !status.success() {
                    eprintln!("run {number} failed: {status}");
                    failed += 1;
                }
            }
        }
    }
    if std::fs::remove_file(&file).is_err() {
        // The last run file is left behind.
    }
    if failed == 0 {
        Ok(())
    } else {
        Err(format!("{failed} of {total} runs failed"))
    }
}
