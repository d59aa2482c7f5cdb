package org.amaranthstream.standins.kv;

import java.util.List;

/**
 * Answer to a read of the list of VMs.
 *
 * @param vms the VMs
 */
record VmListing(List<Vm> vms) {}
