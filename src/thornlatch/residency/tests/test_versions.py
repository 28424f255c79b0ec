"""Announced versions of adapters, and which of them requests may use."""

from thornlatch.residency import AdapterVersions, VersionSettings


def build_versions():
    return AdapterVersions(VersionSettings(replace_s=5.0, margin_s=1.5))


def test_former_version_may_be_used_until_the_limit():
    versions = build_versions()
    versions.announce("m/a", 1, now=float("-inf"))
    versions.announce("m/a", 2, now=10.0)
    assert versions.get_required("m/a", now=13.0) == 1
    assert versions.get_required("m/a", now=13.5) == 2
    assert versions.get_newest("m/a") == 2


def test_older_announcement_changes_nothing():
    versions = build_versions()
    assert versions.announce("m/a", 2, now=1.0)
    assert not versions.announce("m/a", 1, now=2.0)
    assert not versions.announce("m/a", 2, now=3.0)


def test_adapter_without_announcement_takes_any_version():
    versions = build_versions()
    assert versions.get_required("m/a", now=1.0) == 0
    assert versions.get_age("m/a", now=1.0) == float("inf")
