"""The interface that engines provide, tested on the stand-in through the client."""

import json
import threading

import pytest

from standins._http import BackgroundServer
from standins.engine import Engine, EngineOptions, build_token
from standins.weight_store import WeightStore
from thornlatch.exceptions import TargetError
from thornlatch.targets import (
    TargetCall,
    evict_adapter,
    iter_chunks,
    load_adapter,
    open_call,
    read_report,
)

MODEL = "a@1"


@pytest.fixture
def engine():
    options = EngineOptions(
        adapter_slots=2, token_s=0, prefill_s=0, checks_fencing=True, report_lag_s=0
    )
    return Engine(options)


@pytest.fixture
def address(engine):
    with BackgroundServer(engine.app) as server:
        yield server.address


def load(address, model=MODEL, epoch=1):
    load_adapter(address, model, epoch=epoch, store="w", timeout_s=5)


def open_stream(address, **fields):
    body = {"model": MODEL, "prompt": "p", "max_tokens": 5, "stream": True, **fields}
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": "r",
        "X-Attempt": "1",
    }
    path = "/v1/completions"
    return open_call(
        TargetCall(address, "POST", path, json.dumps(body).encode(), headers)
    )


def read_indexes(response):
    chunks = [chunk for batch in iter_chunks(response) for chunk in batch]
    response.close()
    return [c.token_index for c in chunks if c.token_index is not None], chunks


def test_stream_has_every_token_once(address):
    load(address)
    indexes, chunks = read_indexes(open_stream(address))
    assert indexes == [0, 1, 2, 3, 4]
    assert {chunk.model for chunk in chunks} == {MODEL}
    text = json.loads(chunks[2].data)["choices"][0]["text"]
    assert text == build_token(MODEL, "p", 2)


def test_stream_resumes_after_a_token(address):
    load(address)
    indexes, _ = read_indexes(open_stream(address, resume_after=3))
    assert indexes == [3, 4]


def test_stream_adapter_not_loaded(address):
    response = open_stream(address)
    assert response.status == 404
    response.close()


def test_load_without_free_slot(address):
    load(address, "a@1")
    load(address, "b@1")
    with pytest.raises(TargetError) as caught:
        load(address, "c@1")
    assert caught.value.status == 409


@pytest.mark.parametrize(
    ("epoch", "status"), [(4, 412), (5, None), (6, None)], ids=["old", "same", "new"]
)
def test_order_fencing_number(address, epoch, status):
    load(address, epoch=5)
    if status is None:
        evict_adapter(address, MODEL, epoch=epoch, timeout_s=5)
        return
    with pytest.raises(TargetError) as caught:
        evict_adapter(address, MODEL, epoch=epoch, timeout_s=5)
    assert caught.value.status == status


def test_evict_not_loaded_succeeds(address):
    evict_adapter(address, MODEL, epoch=1, timeout_s=5)


def test_load_failure_is_reported(address, engine):
    engine.set_faults({}, {"fail_loads": 1})
    with pytest.raises(TargetError) as caught:
        load(address)
    assert caught.value.status == 500
    load(address)


def test_report_names_loaded_adapters(address):
    load(address)
    assert read_report(address, timeout_s=5)["loaded"] == [MODEL]


@pytest.mark.parametrize("status", ["404 Not Found", "503 Service Unavailable"])
def test_report_with_another_status_is_refused(status):
    """Its body may be a report all the same, such as a proxy's copy."""
    body = b'{"loaded": ["a@1"], "running": 0}'

    def app(environ, start_response):
        start_response(status, [("Content-Length", str(len(body)))])
        return [body]

    with (
        BackgroundServer(app, threads=2) as server,
        pytest.raises(TargetError) as caught,
    ):
        read_report(server.address, timeout_s=5)
    assert caught.value.status == int(status[:3])


@pytest.mark.parametrize("body", [b"", b"[1]", b"{", b"\xff"])
def test_report_malformed(body):
    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    with BackgroundServer(app, threads=2) as server, pytest.raises(TargetError):
        read_report(server.address, timeout_s=5)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"data: {}\n\n",
        b"data: [1]\n\n",
        b'data: {"model": "a", "choices": []}\n\n',
        b"data: " + b"x" * (2 << 20),
    ],
    ids=["empty", "no_fields", "list", "cut_off", "endless"],
)
def test_stream_malformed(body):
    def app(environ, start_response):
        start_response("200 OK", [])
        return [body]

    with BackgroundServer(app, threads=2) as server:
        response = open_call(TargetCall(server.address, "POST", "/", b""))
        with pytest.raises(TargetError):
            list(iter_chunks(response))
        response.close()


def test_open_call_refused_connection_was_not_sent():
    with pytest.raises(TargetError) as caught:
        open_call(TargetCall("127.0.0.1:1", "POST", "/", b"", timeout_s=1))
    assert not caught.value.is_sent


def test_open_call_silent_target_may_have_run():
    released = threading.Event()

    def app(environ, start_response):
        released.wait(5)
        start_response("200 OK", [("Content-Length", "0")])
        return [b""]

    with BackgroundServer(app, threads=2) as server:
        call = TargetCall(server.address, "POST", "/", b"", timeout_s=0.1)
        with pytest.raises(TargetError) as caught:
            open_call(call)
        released.set()
    assert caught.value.is_sent


def test_abort_cancels_the_stream_at_the_engine(address, engine):
    load(address)
    response = open_stream(address, max_tokens=10_000_000)
    first_chunks = next(iter_chunks(response))
    assert first_chunks
    response.abort()
    response.close()
    never_set = threading.Event()
    for _ in range(500):
        if not engine.running:
            break
        never_set.wait(0.02)
    assert not engine.running


def test_store_slows_down_beyond_its_limit():
    store = WeightStore(load_s=0.2, in_flight_loads=2)
    with BackgroundServer(store.app) as server:
        options = EngineOptions(store=server.address, adapter_slots=16)
        with BackgroundServer(Engine(options).app) as engine_server:
            threads = [
                threading.Thread(
                    target=load, args=(engine_server.address, f"m@{i}"), daemon=True
                )
                for i in range(4)
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(5)
    assert store.peak_in_flight > 2
    assert store.load_count == 4
