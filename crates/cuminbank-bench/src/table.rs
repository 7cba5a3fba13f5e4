//! Result tables, printed as text or as JSON.

use serde_json::{json, Value};

/// Result table with notes below it.
#[derive(Clone, Debug, Default)]
pub struct ResultTable {
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    notes: Vec<String>,
}

impl ResultTable {
    /// Creates an empty table.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self { title: title.into(), columns: columns.to_vec(), ..Self::default() }
    }

    /// Adds a row with one cell per column.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Adds a line below the table.
    pub fn note(&mut self, note: impl Into<String>) {
        self.notes.push(note.into());
    }

    /// Formats the table as text with aligned columns.
    pub fn to_text(&self) -> String {
        let width = |index: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(index)).map(String::len);
            cells.chain([self.columns[index].len()]).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        let line = |cells: &[String]| {
            let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
            cells.collect::<Vec<_>>().join("  ")
        };
        let head: Vec<String> = self.columns.iter().map(ToString::to_string).collect();
        let mut lines = vec![self.title.clone(), line(&head)];
        lines.extend(self.rows.iter().map(|row| line(row)));
        lines.extend(self.notes.iter().cloned());
        lines.join("\n")
    }

    /// Formats the table as JSON, with cells that are numbers as numbers.
    pub fn to_json(&self) -> Value {
        let row = |row: &Vec<String>| {
            let cells = self.columns.iter().zip(row);
            let cells = cells.map(|(name, cell)| ((*name).to_owned(), cell_value(cell)));
            Value::Object(cells.collect())
        };
        let rows: Vec<Value> = self.rows.iter().map(row).collect();
        json!({ "title": self.title, "rows": rows, "notes": self.notes })
    }
}

fn cell_value(cell: &str) -> Value {
    match cell.parse::<f64>() {
        Ok(number) => json!(number),
        Err(_) => json!(cell),
    }
}

/// Returns the minimum, median and maximum of the samples, or zeros if there are none.
pub fn min_median_max(samples: &[f64]) -> (f64, f64, f64) {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    match sorted.as_slice() {
        [] => (0.0, 0.0, 0.0),
        sorted => (sorted[0], sorted[sorted.len() / 2], sorted[sorted.len() - 1]),
    }
}

/// Returns the quantile `share`, from 0 to 1, of the samples, or zero if there are none.
pub fn quantile(samples: &[f64], share: f64) -> f64 {
    let mut sorted = samples.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * share).round() as usize).copied().unwrap_or(0.0)
}
