"""The command line `elderlock`: argument parsing, output and exit codes. The decisions are made in other packages."""
