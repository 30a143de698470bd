"""Stand-ins for outside systems; run with `python -m`."""
