//! INI files with positions: sections, keys and diagnostics with file and line.
