package sagefall.faultinjection.report;

/**
 * The state of a member during an interval.
 *
 * @param kind the state
 * @param from begin of the interval, in seconds from the beginning of the run
 * @param to end of the interval, in seconds from the beginning of the run
 */
record MemberState(Kind kind, double from, double to) {

    /** The states that the page shows, each in its own colour. */
    enum Kind {
        UP("up", "up", "#cfe3f3"),
        STARTING("start", "starting", "#bbb"),
        COLD("cold", "cold", "#56b4e9"),
        DRAINING("drain", "draining", "#cc79a7"),
        STOPPED("stop", "stopped", "#e69f00"),
        DOWN("down", "down", "#444");

        private final String cssClass;
        private final String label;
        private final String colour;

        Kind(String cssClass, String label, String colour) {
            this.cssClass = cssClass;
            this.label = label;
            this.colour = colour;
        }

        /** Returns the CSS class of the state. */
        String cssClass() {
            return cssClass;
        }

        String label() {
            return label;
        }

        String colour() {
            return colour;
        }
    }
}
