package org.amaranthstream.daemon;

import org.amaranthstream.platform.HttpKeyValueStore;
import org.amaranthstream.platform.HttpVmList;
import org.amaranthstream.platform.KeyValueStore;
import org.amaranthstream.platform.PlatformHttp;
import org.amaranthstream.platform.VmList;
import org.amaranthstream.settings.PlatformSettings;
import org.amaranthstream.settings.Settings;

/** The clients of the platform's services. */
record PlatformClients(KeyValueStore store, VmList vmList) {

  static PlatformClients create(Threads threads, Settings settings) {
    PlatformSettings platform = settings.platform();
    PlatformHttp http =
        PlatformHttp.create(
            threads.vertx(), platform.url(), platform.token(), settings.timing().platformTimeout());
    return new PlatformClients(HttpKeyValueStore.of(http), HttpVmList.of(http));
  }
}
