// Seeded random numbers that are the same on every machine and with every standard library: the distributions
// of <random> are not. SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators, 2014).
#ifndef VIOLETWING_COMMON_RANDOM_HPP_
#define VIOLETWING_COMMON_RANDOM_HPP_

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <numbers>
#include <string_view>

namespace violetwing {

/// A number that depends on the seed and the text alone, so that parties can draw in any order.
inline std::uint64_t Hash(std::uint64_t seed, std::string_view text) {
  return XXH64(text.data(), text.size(), seed);
}

/// A generator whose whole state is one number. Not for cryptography.
class Random {
 public:
  /// A stream of its own for each seed.
  explicit Random(std::uint64_t seed) : state_(seed) {}
  /// A stream of its own for each party, so that one more draw by one does not change what another draws.
  Random(std::uint64_t seed, std::string_view party) : state_(Hash(seed, party)) {}

  /// Uniform over all 64-bit numbers.
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }
  /// Uniform in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  /// Uniform in [least, most).
  double Uniform(double least, double most) { return least + (most - least) * Uniform(); }
  /// Uniform in [0, count); count > 0. The bias of the remainder is below 2^-40 for the counts in use.
  std::uint64_t Below(std::uint64_t count) { return Next() % count; }
  /// Exponential with this mean.
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  /// Standard normal, by Box and Muller; one of the pair is used.
  double Normal() {
    const double radius = std::sqrt(-2 * std::log1p(-Uniform()));
    return radius * std::cos(2 * std::numbers::pi * Uniform());
  }
  /// Log-normal, by its mean and its coefficient of variation.
  double LogNormal(double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * Normal() - variance / 2);
  }

 private:
  std::uint64_t state_;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_RANDOM_HPP_
