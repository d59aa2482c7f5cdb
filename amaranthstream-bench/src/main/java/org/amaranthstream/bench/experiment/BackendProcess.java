package org.amaranthstream.bench.experiment;

import org.amaranthstream.standins.kv.Vm;

/**
 * A stand-in of a backend server that runs.
 *
 * @param name the name of its VM
 * @param pool its pool
 * @param zone where it stands
 * @param process the process
 */
record BackendProcess(String name, String pool, ZoneSpec zone, JavaProcess process) {
  String url() {
    return "http://" + Cluster.HOST + ":" + process.startedPort();
  }

  Vm vm() {
    return new Vm(
        name,
        "BACKEND",
        zone.region(),
        zone.zone(),
        Cluster.HOST,
        process.startedPort(),
        pool,
        false);
  }
}
