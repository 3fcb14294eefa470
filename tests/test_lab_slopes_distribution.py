"""Cost slopes of the distribution of configuration, at tiny sizes on real instances and nodes."""

import msgspec
import pytest
from test_lab_slopes_fleet import by_name, check, ignore_progress

from caperdeck.distribution.document import canonical, difference, encode_changes
from caperdeck.lab.slopes import distribution
from caperdeck.lab.slopes.errors import MeasurementError
from caperdeck.lab.slopes.publishing_instances import CUSTOMER_BYTES, PublishingInstances, document
from caperdeck.lab.slopes.record import Source
from caperdeck.lab.slopes.watching_nodes import NodesSample, WatchingNodes, wait_for
from caperdeck.lifecycle.merge import check_document


def test_distribution_is_measured_on_instances_and_nodes(tmp_path):
    # what is idle is subtracted, and is as large as the cost at these sizes: below 0 now and then
    measured = distribution.measure(True, ignore_progress)
    found = by_name(measured)
    for name in ("subscribe_cpu", "instance_version_cpu", "instance_version_cpu_by_size", "version_cpu"):
        assert len(found.pop(f"distribution.{name}").points) == 4
    check(found.values(), "distribution", {Source.PROCESSES}, tmp_path)
    assert found.keys() == {
        f"distribution.{name}"
        for name in (
            "node_cpu", "node_bytes", "node_memory", "instance_cpu", "instance_memory", "version_bytes",
            "version_memory", "commit_cpu", "history_memory",
        )
    }  # fmt: skip
    # a question and its answer a second and watch; the whole list with each version
    assert 150 < found["distribution.node_bytes"].line.slope < 1500
    assert found["distribution.version_bytes"].line.slope == pytest.approx(1.0, abs=0.05)


@pytest.mark.parametrize("size", [100, 1000, 100_000])
def test_a_document_has_its_size_and_each_change_sends_its_list(size):
    documents = [document(size, change) for change in (0, 1, size)]
    for made in documents:
        check_document(made)
        assert abs(len(canonical(made)) - size) < CUSTOMER_BYTES
    for before, after in zip(documents, documents[1:], strict=False):
        assert len(canonical(encode_changes(difference(before, after)))) > size / 2


def test_a_version_is_in_force_at_all_watching_nodes_and_their_processes_end(tmp_path):
    with PublishingInstances(tmp_path / "instances") as instances:
        with WatchingNodes(3, 2, instances.address, tmp_path / "nodes") as nodes:
            revision = instances.publish(1000)
            nodes.wait_until_applied(revision)
            instances.wait_until_reported("n2", revision)
            first, second = nodes.samples(), nodes.samples()
            processes = nodes.processes
        assert all(process.popen.returncode is not None for process in processes)
        instances.check()
    assert sorted(name for process in processes for name in process.names) == ["n0", "n1", "n2"]
    assert all(after.at > before.at for before, after in zip(first, second, strict=True))
    assert min(sample.bytes for sample in second) > 1000


def test_what_ended_or_changed_is_void(tmp_path, monkeypatch):
    with PublishingInstances(tmp_path / "instances") as instances:
        instances.leader = instances.watched
        with pytest.raises(MeasurementError, match="another instance leads"):
            instances.check()
        with WatchingNodes(1, 1, instances.address, tmp_path / "nodes") as nodes:
            nodes.processes[0].popen.kill()
            with pytest.raises(MeasurementError, match="a process of nodes ended"):
                nodes.wait_until_applied(99)
    monkeypatch.setattr("caperdeck.lab.slopes.watching_nodes.WAIT", 0.0)
    with pytest.raises(MeasurementError, match="nothing after 0 s"):
        wait_for(lambda: False, lambda: None, "nothing")


def test_what_the_same_time_costs_idle_is_not_the_versions():
    class Stub(msgspec.Struct):
        watched: int = 0
        count: int = 2
        at: float = 0.0

        def meter(self, number):
            return self

        def read(self):
            return 3.0, 4.0

        def publish(self, size):
            return 1

        def wait_until_applied(self, revision):
            pass

        def samples(self):
            self.at += 5.0
            return [NodesSample(self.at, 0.0, int(100 * self.at))] * 2

    sizes = distribution.SMALL._replace(answered=0.0, versions=3)
    found = distribution.spent(Stub(), Stub(), distribution.IdleCost(0.0, 30.0, 0.25), 10, sizes)
    # two processes with 500 bytes each in 5 s, 150 of them idle; 3 s of 4, 1 of them idle
    assert found == distribution.Spent(2 * 500 - 5 * 30.0, 3.0 - 4 * 0.25)
