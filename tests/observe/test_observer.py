"""Tests of the logs, spans and metrics of one node."""

import json
import logging

import pytest

from samphirecleat.observe import (
    JsonFormatter,
    Metrics,
    MetricsFormatError,
    Observer,
    make_formatter,
    merge_metrics,
    read_metrics,
    summarize,
)


def test_metrics_of_two_nodes_are_merged() -> None:
    """Fleet percentiles come from merged histograms, not from averaged percentiles."""
    fast, slow = Observer("fast"), Observer("slow")
    for _call in range(99):
        fast.record_s("request", 0.010)
    slow.record_s("request", 1.0)
    fast.counters["seen"] += 2
    slow.counters["seen"] += 3
    merged = merge_metrics([fast.metrics(), slow.metrics()])
    summary = summarize(merged)["request"]
    assert merged.counters == {"seen": 5}
    assert summary["count"] == 100
    assert summary["p50_ms"] == pytest.approx(10.0, rel=0.02)
    assert summary["p99.9_ms"] == pytest.approx(1000.0, rel=0.02)


@pytest.mark.parametrize(
    "body",
    [
        pytest.param({}, id="empty"),
        pytest.param({"unavailable": "lost"}, id="no answer"),
        pytest.param({"counters": [], "histograms": {}}, id="wrong type"),
        pytest.param({"counters": {"a": "x"}, "histograms": {}}, id="no number"),
        pytest.param({"counters": {}, "histograms": {"a": "garbage"}}, id="damaged histogram"),
    ],
)
def test_malformed_metrics_raise_an_error(body) -> None:
    """A node of another version, or one that did not respond, must not yield wrong values."""
    with pytest.raises(MetricsFormatError):
        summarize(read_metrics(body))


def test_metrics_round_trip_through_json() -> None:
    observer = Observer("n1")
    observer.record_s("request", 0.5)
    sent = json.loads(json.dumps(observer.metrics()._asdict()))
    assert read_metrics(sent) == Metrics({}, observer.histograms())


def test_spans_of_a_trace_are_selected_and_linked() -> None:
    observer = Observer("n1")
    with observer.span("entry", "") as outer, observer.span("dispatch", outer, service="a"):
        pass
    with observer.span("other", ""):
        pass
    trace = outer.split("-")[1]
    inner, entry = observer.spans(trace)
    assert (inner["name"], entry["name"]) == ("dispatch", "entry")
    assert inner["parent"] == entry["span"]
    assert inner["attributes"] == {"service": "a"}
    assert len(observer.spans()) == 3


def test_json_line_contains_the_part_and_the_exception() -> None:
    record = logging.LogRecord("samphirecleat.n1", logging.ERROR, "", 1, "[hosts] %s", ("x",), None)
    record.part = "hosts"
    try:
        raise ValueError("broken")
    except ValueError as error:
        record.exc_info = (ValueError, error, None)
    row = json.loads(make_formatter("json").format(record))
    assert (row["part"], row["message"], row["level"]) == ("hosts", "[hosts] x", "error")
    assert "broken" in row["exception"]
    assert not isinstance(make_formatter("human"), JsonFormatter)


def test_messages_are_prefixed_with_their_part(caplog) -> None:
    with caplog.at_level(logging.INFO):
        Observer("n1").log("members").info("Node %s is gone.", "n2")
    assert caplog.messages == ["[members] Node n2 is gone."]
    assert caplog.records[0].part == "members"
