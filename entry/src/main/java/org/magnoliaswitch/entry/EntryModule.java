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

/** Guice bindings of an entry process. All of them are singletons. */
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
    HttpPlatform httpPlatform =
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
        new PeerSecret(readFirstLineOf(settings.secretFile()).getBytes(StandardCharsets.UTF_8));
    ControlPlane.Setup setup =
        new ControlPlane.Setup(identity, settings.seedAddresses(), GossipSettings.DEFAULT, secret);
    return new ControlPlane(
        setup,
        new Platform(httpPlatform, httpPlatform, httpPlatform),
        clocks,
        RandomGenerator.of("L64X128MixRandom"));
  }

  @Provides
  @Singleton
  RequestService requestService(ControlPlane control) {
    return new RequestService(control, settings.dataCentre(), settings.callersBalancerResends());
  }

  @Provides
  @Singleton
  PrometheusMeterRegistry meterRegistry() {
    return new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  }

  @Provides
  @Singleton
  BearerFilter bearerFilter() throws IOException {
    return new BearerFilter(readFirstLineOf(settings.tokenFile()));
  }

  private static String readFirstLineOf(String file) throws IOException {
    String line = Files.asCharSource(new File(file), StandardCharsets.UTF_8).readFirstLine();
    if (line == null || line.isBlank()) {
      throw new IOException(file + ": the first line is empty or blank");
    }
    return line.strip();
  }
}
