import pytest

from thornlatch.configuration import (
    Adapter,
    ConfigurationPublished,
    ConfigurationState,
    ConfigurationView,
    Inventory,
    Pool,
    Route,
    TargetDrained,
    apply_record,
)
from thornlatch.configuration.tests.builders import build_inventory

PATHS = ("/pull", "/pull/reserve", "/open")


@pytest.fixture
def view():
    base = build_inventory()
    older = Adapter("adapter-0", "v0", "llm", "shop", is_default=False)
    inventory = Inventory(
        **{
            **vars(base),
            "adapters": (*base.adapters, older, Adapter("free", "v1", "llm")),
            "pools": (*base.pools, Pool("spare", "plain")),
            "routes": tuple(Route(path, "api") for path in PATHS),
        }
    )
    state = ConfigurationState()
    state = apply_record(state, 0, ConfigurationPublished(-1, "ana", inventory))
    assert not state.refusals
    return ConfigurationView(apply_record(state, 1, TargetDrained("llm-1", "ana")))


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        ("/pull", "/pull"),
        ("/pull/", "/pull"),
        ("/pull/7?x=/open", "/pull"),
        ("/pull/reserve", "/pull/reserve"),
        ("/pull/reserve/7", "/pull/reserve"),
        ("/pull/reserved", "/pull"),
        ("/pulling", None),
        ("/", None),
        ("", None),
        ("pull", None),
        ("/open/../pull/reserve", None),
        ("/open/%2e%2e/pull/reserve", None),
        ("/open%2f..%2fpull", None),
        ("/open/%252e%252e/pull", None),
        ("/open/..\\pull", None),
        ("//open", None),
        ("/open//x", None),
        ("/open/./x", None),
    ],
)
def test_find_route(view, path, expected):
    route = view.find_route(path)
    assert (route and route.path) == expected


@pytest.mark.parametrize(
    ("model", "version"),
    [
        ("adapter-0", "v1"),
        ("adapter-0/v1", "v1"),
        ("adapter-0/v0", "v0"),
        ("adapter-0/v9", None),
        ("adapter", None),
        ("", None),
    ],
)
def test_find_adapter(view, model, version):
    adapter = view.find_adapter(model)
    assert (adapter and adapter.version) == version


def test_targets_of_pool_with_drained_target(view):
    assert [(t.name, t.is_leaving) for t in view.get_pool_targets("llm")] == [
        ("llm-1", True)
    ]
    assert {t.name: t.is_leaving for t in view.iter_targets()} == {
        "llm-1": True,
        "api-1": False,
    }
    assert view.get_pool_targets("spare") == ()


def test_adapters_that_organisation_may_call(view):
    assert [a.label for a in view.iter_adapters("club")] == ["free/v1"]
    assert len(list(view.iter_adapters("shop"))) == 4
