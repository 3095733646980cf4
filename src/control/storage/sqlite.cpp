#include "control/storage/sqlite.hpp"

namespace violetwing::sqlite {
namespace {

std::string Copy(const void* bytes, int size) {
  if (bytes == nullptr) return {};
  return {static_cast<const char*>(bytes), static_cast<std::size_t>(size)};
}

}  // namespace

// ---- Statement ----

Statement::Statement(sqlite3_stmt* statement) : statement_(statement) {
  if (statement_ == nullptr) return;
  sqlite3_reset(statement_);
  sqlite3_clear_bindings(statement_);
}

Statement::~Statement() {
  if (statement_ != nullptr) sqlite3_reset(statement_);
}

Statement& Statement::Bind(int parameter, std::uint64_t number) {
  sqlite3_bind_int64(statement_, parameter, static_cast<sqlite3_int64>(number));
  return *this;
}

Statement& Statement::BindText(int parameter, const std::string& text) {
  sqlite3_bind_text(statement_, parameter, text.data(), static_cast<int>(text.size()), SQLITE_TRANSIENT);
  return *this;
}

Statement& Statement::BindBlob(int parameter, const std::string& bytes) {
  sqlite3_bind_blob(statement_, parameter, bytes.data(), static_cast<int>(bytes.size()), SQLITE_TRANSIENT);
  return *this;
}

bool Statement::Run() {
  if (statement_ == nullptr) return false;
  const int code = sqlite3_step(statement_);
  sqlite3_reset(statement_);
  return code == SQLITE_DONE || code == SQLITE_ROW;
}

bool Statement::Next() { return statement_ != nullptr && sqlite3_step(statement_) == SQLITE_ROW; }

int Statement::Int(int column) const { return sqlite3_column_int(statement_, column); }

std::uint64_t Statement::Unsigned(int column) const {
  return static_cast<std::uint64_t>(sqlite3_column_int64(statement_, column));
}

std::string Statement::Text(int column) const {
  const unsigned char* text = sqlite3_column_text(statement_, column);
  return Copy(text, sqlite3_column_bytes(statement_, column));
}

std::string Statement::Blob(int column) const {
  const void* bytes = sqlite3_column_blob(statement_, column);
  return Copy(bytes, sqlite3_column_bytes(statement_, column));
}

// ---- Database ----

bool Database::Open(const std::string& file) {
  sqlite3* handle = nullptr;
  const int code = sqlite3_open(file.c_str(), &handle);
  handle_.reset(handle);  // to be closed also after an error, which it holds
  return code == SQLITE_OK;
}

bool Database::Execute(const char* sql) {
  return sqlite3_exec(handle_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

Statement Database::Prepare(const std::string& sql) {
  auto& statement = statements_[sql];
  if (statement == nullptr) {
    sqlite3_stmt* prepared = nullptr;
    sqlite3_prepare_v2(handle_.get(), sql.c_str(), -1, &prepared, nullptr);  // null after an error
    statement.reset(prepared);
  }
  return Statement(statement.get());
}

std::string Database::ErrorMessage() const { return sqlite3_errmsg(handle_.get()); }

}  // namespace violetwing::sqlite
