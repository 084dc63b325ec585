//! Plain text tables with aligned columns.

/// A text table, built row by row.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Returns a table with column titles and no rows.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Returns the table as text, with each column as wide as its widest cell.
    pub(crate) fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            text.push_str(cells.join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}
