"""The lines that every measurement writes."""

from typing import Any


def build_row(
    name: str,
    value: float,
    unit: str,
    bound: float | None = None,
    baseline: float | None = None,
    *,
    seed: int | str | None = None,
    digits: int | None = None,
) -> dict[str, Any]:
    """Build one line of the output.

    Parameters
    ----------
    name : str
    value : float
    unit : str
    bound : float, optional
        What the stated target allows.
    baseline : float, optional
        The same measured without the means under test.
    seed : int or str, optional
        Seed or range of seeds.
    digits : int, optional
        Places after the point to which figures are rounded; all by default.

    Returns
    -------
    dict
    """
    figures = {"value": value, "bound": bound, "baseline": baseline}
    if digits is not None:
        for field, figure in figures.items():
            figures[field] = None if figure is None else round(figure, digits)
    return {
        "name": name,
        "value": figures["value"],
        "unit": unit,
        "bound": figures["bound"],
        "baseline": figures["baseline"],
        "seed": seed,
    }
