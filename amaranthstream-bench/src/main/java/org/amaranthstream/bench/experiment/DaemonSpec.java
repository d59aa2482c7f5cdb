package org.amaranthstream.bench.experiment;

/**
 * One daemon of a cluster.
 *
 * @param name the name of its entry VM
 * @param zone where it stands
 * @param httpPort its HTTP port
 * @param peerPort the port of its peer link
 */
record DaemonSpec(String name, ZoneSpec zone, int httpPort, int peerPort) {
  String url() {
    return "http://" + Cluster.HOST + ":" + httpPort;
  }
}
