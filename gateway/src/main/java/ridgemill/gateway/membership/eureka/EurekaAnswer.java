package ridgemill.gateway.membership.eureka;

import java.util.List;

/**
 * What a registry answered.
 *
 * @param records in its order; in a delta each with its action
 * @param hash the registry's own summary of all instances by their status ({@code apps__hashcode}); empty where it tells
 *     none
 * @param version of the delta; empty where it tells none
 */
record EurekaAnswer(List<EurekaRecord> records, String hash, String version) {

    EurekaAnswer {
        records = List.copyOf(records);
    }
}
