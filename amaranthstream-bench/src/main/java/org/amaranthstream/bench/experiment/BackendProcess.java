package org.amaranthstream.bench.experiment;

import org.amaranthstream.standins.kv.Vm;

/**
 * Running process of a stand-in for a backend server.
 *
 * @param name the name of its VM
 * @param pool the name of its pool
 * @param zone the zone that it runs in
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
