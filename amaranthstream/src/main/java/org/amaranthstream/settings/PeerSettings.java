package org.amaranthstream.settings;

/**
 * The peer link of this entry VM.
 *
 * @param address where it listens
 * @param security how peers know each other
 */
public record PeerSettings(ListenAddress address, PeerSecurity security) {}
