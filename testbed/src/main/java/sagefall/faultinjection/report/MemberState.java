package sagefall.faultinjection.report;

/**
 * Describes the state of a member during an interval. A member is a sidecar or server of the run.
 *
 * @param kind kind of the state
 * @param from begin of the interval, in seconds from the beginning of the run
 * @param to end of the interval, in seconds from the beginning of the run
 */
record MemberState(Kind kind, double from, double to) {

    /** Lists the states that the HTML report shows. Each state has its own colour. */
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
