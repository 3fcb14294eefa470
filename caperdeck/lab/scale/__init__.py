"""The scale run: stub nodes beside real nodes, up to the whole target on one machine (docs/scale.md)."""
