package org.magnoliaswitch.front.peer;

import java.util.Optional;

/** What an instance, as a seed, exchanges with its listeners about teams. */
public interface ListenerTeams {
  /** Exchanges nothing. */
  ListenerTeams NONE =
      new ListenerTeams() {
        @Override
        public Optional<TeamNews> nextNews(long listener) {
          return Optional.empty();
        }

        @Override
        public void reported(long listener, TeamReport report) {
          // Without teams there is nothing to count.
        }

        @Override
        public void disconnected(long listener) {
          // Nothing is kept for listeners.
        }
      };

  /** Returns the news for a listener's next message; empty while there are no teams. */
  Optional<TeamNews> nextNews(long listener);

  /** Handles the report of a listener. */
  void reported(long listener, TeamReport report);

  /** Forgets a listener whose connection is closed. */
  void disconnected(long listener);
}
