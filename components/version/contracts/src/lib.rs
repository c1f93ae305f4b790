//! Contract and catalogue files: parsing, validation and differences.
