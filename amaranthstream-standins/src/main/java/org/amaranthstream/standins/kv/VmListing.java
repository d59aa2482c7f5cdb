package org.amaranthstream.standins.kv;

import java.util.List;

/**
 * JSON body of the list of VMs.
 *
 * @param vms the VMs
 */
record VmListing(List<Vm> vms) {}
