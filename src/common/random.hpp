// Seeded random numbers that are the same on every machine and with every standard library, unlike the
// distributions of <random>. SplitMix64 (Steele, Lea, Flood: Fast splittable pseudorandom number generators,
// 2014).
#ifndef VIOLETWING_COMMON_RANDOM_HPP_
#define VIOLETWING_COMMON_RANDOM_HPP_

#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <numbers>
#include <string_view>

namespace violetwing {

/// Hashes a text with a seed. The result depends on nothing else, so that the order of calls does not matter.
inline std::uint64_t Hash(std::uint64_t seed, std::string_view text) {
  return XXH64(text.data(), text.size(), seed);
}

/// A generator with 64 bits of state. Not suitable for cryptography.
class Random {
 public:
  /// Starts an independent stream for each seed.
  explicit Random(std::uint64_t seed) : state_(seed) {}
  /// Starts an independent stream for each `stream` name, so that extra draws by one user do not affect the
  /// others.
  Random(std::uint64_t seed, std::string_view stream) : state_(Hash(seed, stream)) {}

  /// Uniform over all 64-bit numbers.
  std::uint64_t Next() {
    std::uint64_t z = (state_ += 0x9e3779b97f4a7c15U);
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
    return z ^ (z >> 31U);
  }
  /// Uniform in [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11U) * 0x1.0p-53; }
  /// Uniform in [min, max).
  double Uniform(double min, double max) { return min + (max - min) * Uniform(); }
  /// Uniform in [0, count); count > 0. The modulo bias is below 2^-40 for the counts in use.
  std::uint64_t Below(std::uint64_t count) { return Next() % count; }
  /// Exponential with this mean.
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  /// Standard normal, by the Box-Muller transform; the second value of each pair is discarded.
  double Normal() {
    const double radius = std::sqrt(-2 * std::log1p(-Uniform()));
    return radius * std::cos(2 * std::numbers::pi * Uniform());
  }
  /// Log-normal with this mean and coefficient of variation.
  double LogNormal(double mean, double cv) {
    const double variance = std::log1p(cv * cv);
    return mean * std::exp(std::sqrt(variance) * Normal() - variance / 2);
  }

 private:
  std::uint64_t state_;
};

}  // namespace violetwing

#endif  // VIOLETWING_COMMON_RANDOM_HPP_
