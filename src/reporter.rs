//! Task of the usage reporter: seals and reports usage windows.
