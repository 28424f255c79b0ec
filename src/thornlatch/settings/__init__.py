"""Settings of a daemon: one TOML file, one frozen class per slice."""

from thornlatch.settings._load import load_settings, parse_table

__all__ = ["load_settings", "parse_table"]
