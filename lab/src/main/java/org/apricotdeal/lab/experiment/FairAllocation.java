package org.apricotdeal.lab.experiment;

import java.util.Map;
import java.util.TreeMap;

import org.apricotdeal.kernel.id.CallerId;

/** The weighted max-min fair allocation, and Jain's index of what was got against it. */
final class FairAllocation {
    private static final int MAX_ROUNDS = 100;
    private static final double EPSILON = 1e-9;

    private FairAllocation() {}

    /** Divides an amount so that nobody gets more than it asks for, and what is left over goes to the others. */
    static Map<CallerId, Double> maxMin(Map<CallerId, Double> demand, Map<CallerId, Double> weight, double amount) {
        Map<CallerId, Double> allocation = new TreeMap<>();
        demand.keySet().forEach(caller -> allocation.put(caller, 0.0));
        double left = amount;
        for (int round = 0; round < MAX_ROUNDS && left > EPSILON; round++) {
            double openWeight = 0;
            for (CallerId caller : demand.keySet()) {
                openWeight += allocation.get(caller) < demand.get(caller) - EPSILON ? weight.get(caller) : 0;
            }
            if (openWeight == 0) {
                return allocation;
            }
            double perWeight = left / openWeight;
            for (CallerId caller : demand.keySet()) {
                double missing = demand.get(caller) - allocation.get(caller);
                double part = Math.min(missing, perWeight * weight.get(caller));
                allocation.merge(caller, part, Double::sum);
                left -= part;
            }
        }
        return allocation;
    }

    static double jain(Map<CallerId, Double> got, Map<CallerId, Double> fair) {
        double sum = 0;
        double squares = 0;
        int callers = 0;
        for (Map.Entry<CallerId, Double> entry : fair.entrySet()) {
            if (entry.getValue() <= EPSILON) {
                continue;
            }
            double ratio = got.getOrDefault(entry.getKey(), 0.0) / entry.getValue();
            sum += ratio;
            squares += ratio * ratio;
            callers++;
        }
        return squares == 0 ? 1 : sum * sum / (callers * squares);
    }
}
