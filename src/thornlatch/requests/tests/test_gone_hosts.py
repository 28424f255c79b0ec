from thornlatch.requests._gone_hosts import GoneHosts


def test_gone_host_after_its_grace():
    hosts = GoneHosts(2.0)
    hosts.note_members({"a", "b"})
    assert not hosts.is_gone("b", now=0.0)
    hosts.note_members({"a"})
    assert not hosts.is_gone("b", now=5.0)
    assert not hosts.is_gone("b", now=6.9)
    assert hosts.is_gone("b", now=7.0)


def test_gone_host_back_between_two_questions_starts_afresh():
    hosts = GoneHosts(2.0)
    hosts.note_members({"a"})
    assert not hosts.is_gone("b", now=0.0)
    hosts.note_members({"a", "b"})
    hosts.note_members({"a"})
    assert not hosts.is_gone("b", now=5.0)
