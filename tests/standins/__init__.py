"""Stand-ins of outside systems, each run by `python -m`, and test tools."""
