package org.magnoliaswitch.entry;

import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;

/** Provides Dropwizard with a configuration derived from settings that are already validated. */
final class FixedConfigurationFactory implements ConfigurationFactory<EntryConfiguration> {
  private final EntrySettings settings;

  FixedConfigurationFactory(EntrySettings settings) {
    this.settings = settings;
  }

  @Override
  public EntryConfiguration build(ConfigurationSourceProvider provider, String path) {
    return build();
  }

  @Override
  public EntryConfiguration build() {
    return new EntryConfiguration(settings);
  }
}
