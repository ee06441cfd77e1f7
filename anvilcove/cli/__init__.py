"""Programs of the `anvilcove` command."""
