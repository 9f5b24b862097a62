package ridgemill.bench.scale;

/** How often a second each kind of operation is asked for. */
record Rates(double changes, double purges, double keys, double states) {

    static final Rates NONE = new Rates(0, 0, 0, 0);

    static Rates changes(double perS) {
        return new Rates(perS, 0, 0, 0);
    }

    static Rates purges(double perS) {
        return new Rates(0, perS, 0, 0);
    }

    static Rates keys(double perS) {
        return new Rates(0, 0, perS, 0);
    }

    static Rates states(double perS) {
        return new Rates(0, 0, 0, perS);
    }
}
