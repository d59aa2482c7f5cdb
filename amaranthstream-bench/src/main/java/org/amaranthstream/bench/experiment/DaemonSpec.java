package org.amaranthstream.bench.experiment;

/**
 * Identity and ports of one daemon of a cluster.
 *
 * @param name the name of its entry VM
 * @param zone the zone that it runs in
 * @param httpPort the port on which it accepts HTTP connections
 * @param peerPort the port on which it accepts peer links
 */
record DaemonSpec(String name, ZoneSpec zone, int httpPort, int peerPort) {
  String url() {
    return "http://" + Cluster.HOST + ":" + httpPort;
  }
}
