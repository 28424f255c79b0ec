from thornlatch.requests._departed_hosts import DepartedHosts


def test_gone_host_after_its_grace():
    hosts = DepartedHosts(2.0)
    hosts.note_members({"a", "b"})
    assert not hosts.has_departed("b", now=0.0)
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=5.0)
    assert not hosts.has_departed("b", now=6.9)
    assert hosts.has_departed("b", now=7.0)


def test_gone_host_back_between_two_questions_starts_afresh():
    hosts = DepartedHosts(2.0)
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=0.0)
    hosts.note_members({"a", "b"})
    hosts.note_members({"a"})
    assert not hosts.has_departed("b", now=5.0)
