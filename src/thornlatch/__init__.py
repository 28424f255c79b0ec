"""Serving layer for many LoRA adapters on a small pool of model engines."""

__version__ = "0.1.0"

__all__ = ["__version__"]
