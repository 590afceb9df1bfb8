package org.magnoliaswitch.entry;

import com.google.common.io.Files;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.File;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.random.RandomGenerator;
import org.magnoliaswitch.core.clock.Clocks;
import org.magnoliaswitch.core.peer.PeerSecret;
import org.magnoliaswitch.core.platform.HttpPlatform;
import org.magnoliaswitch.core.process.ControlPlane;
import org.magnoliaswitch.core.process.GossipSettings;
import org.magnoliaswitch.core.process.InstanceIdentity;
import org.magnoliaswitch.core.process.Platform;
import org.magnoliaswitch.core.request.RequestService;

/** Wires the parts of an entry process, each of which lives as long as the process. */
final class EntryModule extends AbstractModule {
  private final EntrySettings settings;

  EntryModule(EntrySettings settings) {
    this.settings = settings;
  }

  @Provides
  @Singleton
  EntrySettings settings() {
    return settings;
  }

  @Provides
  @Singleton
  Clocks clocks() {
    return Clocks.system();
  }

  @Provides
  @Singleton
  ControlPlane controlPlane(Clocks clocks) throws IOException {
    HttpPlatform http =
        new HttpPlatform(URI.create(settings.platform()), settings.platformTimeoutMillis());
    InstanceIdentity identity =
        new InstanceIdentity(
            settings.instance(),
            settings.dataCentre(),
            settings.host(),
            settings.callerPort(),
            settings.operatorPort(),
            settings.peerPort());
    PeerSecret secret =
        new PeerSecret(readLine(settings.secretFile()).getBytes(StandardCharsets.UTF_8));
    ControlPlane.Setup setup =
        new ControlPlane.Setup(identity, settings.seedAddresses(), GossipSettings.DEFAULT, secret);
    return new ControlPlane(
        setup, new Platform(http, http, http), clocks, RandomGenerator.of("L64X128MixRandom"));
  }

  @Provides
  @Singleton
  RequestService requestService(ControlPlane control) {
    return new RequestService(control, settings.dataCentre(), settings.callersBalancerResends());
  }

  @Provides
  @Singleton
  PrometheusMeterRegistry meters() {
    return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  }

  @Provides
  @Singleton
  BearerFilter bearerFilter() throws IOException {
    return new BearerFilter(readLine(settings.tokenFile()));
  }

  private static String readLine(String file) throws IOException {
    String line = Files.asCharSource(new File(file), StandardCharsets.UTF_8).readFirstLine();
    if (line == null || line.isBlank()) {
      throw new IOException(file + " is empty");
    }
    return line.strip();
  }
}
