package org.amaranthstream.settings;

/**
 * Settings of the peer links of this entry VM.
 *
 * @param address the address on which this VM accepts peer links
 * @param security the method by which peers authenticate each other
 */
public record PeerSettings(ListenAddress address, PeerSecurity security) {}
