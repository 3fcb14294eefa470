"""The scale run: hollow nodes beside real ones, up to the whole target on one machine (docs/scale.md)."""
