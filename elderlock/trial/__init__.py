"""The proving ground: several real processes, faults between them, histories from outside, the simulation's judges."""
