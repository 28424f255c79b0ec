"""Malformed numbers in headers of clients and servers."""

import io

import pytest

from adapter._entries import LoadedModelEntry, build_loaded_model
from adapter._protocols import PlatformCallerProtocol, PlatformTargetProtocol
from thornlatch.exceptions import ErrorKind, RequestRefused, TargetError
from thornlatch.targets import TargetResponse

BAD_NUMBERS = ["²", "٣", "9" * 5000, "-1", "1.5", ""]


def read_request(**headers):
    environ = {
        "HTTP_THORNLATCH_REQUEST_ID": "r",
        "REQUEST_METHOD": "GET",
        "REQUEST_URI": "/x",
        "wsgi.input": io.BytesIO(),
        **headers,
    }
    return PlatformCallerProtocol().read_request(environ)


@pytest.mark.parametrize("number", BAD_NUMBERS)
@pytest.mark.parametrize(
    ("header", "form"),
    [
        ("HTTP_THORNLATCH_DEADLINE_MS", "{}"),
        ("HTTP_THORNLATCH_TOKEN_USAGE", "5,{}"),
        ("HTTP_THORNLATCH_PREFIX_HASH", "ab:{}"),
    ],
)
def test_malformed_number_of_a_client_is_a_bad_request(header, form, number):
    with pytest.raises(RequestRefused) as caught:
        read_request(**{header: form.format(number)})
    assert caught.value.kind is ErrorKind.BAD_REQUEST


@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_malformed_load_of_a_server_is_ignored(number):
    headers = [("Thornlatch-Server-Load", f"1,{number},8")]
    assert PlatformTargetProtocol("h").read_head(200, headers).load is None


@pytest.mark.parametrize("number", BAD_NUMBERS)
def test_adapter_with_a_malformed_version_is_left_out(number):
    entry = LoadedModelEntry("m", 1, [f"a1@{number}", "a2@2"])
    assert build_loaded_model(entry).adapters == {"a2": 2}


def test_report_with_another_status_names_it(monkeypatch):
    class Response:
        status = 503

        def read_all(self, limit, *, within_s):
            return b"{}"

        def close(self):
            pass

    def open_call(call) -> TargetResponse:
        return Response()

    monkeypatch.setattr("adapter._protocols.open_call", open_call)
    with pytest.raises(TargetError) as caught:
        PlatformTargetProtocol("h").read_report("127.0.0.1:1", "i")
    assert caught.value.status == 503
